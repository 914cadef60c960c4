package hfwork

//go:generate sh -c "go build -o /tmp/hf-protoc-gen-go google.golang.org/protobuf/cmd/protoc-gen-go && protoc --plugin=protoc-gen-go=/tmp/hf-protoc-gen-go --go_out=. --go_opt=paths=source_relative work.proto"
