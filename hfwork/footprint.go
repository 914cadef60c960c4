package hfwork

import (
	"time"

	"google.golang.org/protobuf/proto"
)

// Upper limits of the memory that the parts of a job take, in bytes. TestFootprintIsNotExceeded of
// hfplan and TestFootprintOfRecordsIsNotExceeded of hfentry measure them.
const (
	taskFootprint       = 192 // of a task that is loaded by a leader
	stepFootprint       = 640 // of a step in an occurrence that is loaded by a leader
	jobFootprint        = 640 // of a job at a leader, besides
	recordFootprint     = 768 // of the record of a job at each instance, besides its encoded size
	recordStepFootprint = 256 // of each step in such a record

	// EndedFootprint is the memory of a job that has ended, at an instance.
	EndedFootprint = 512
)

// footprintSpan is the time within which due occurrences count together: those that are running, and
// those that are behind because there was no room for them.
const footprintSpan = time.Hour

// OccurrenceFootprint returns the number of bytes that an occurrence of a job takes at the leader once
// it is loaded.
func OccurrenceFootprint(j *Job) int64 {
	size := int64(0)
	for _, s := range j.GetSteps() {
		size += stepFootprint + int64(s.GetCount())*taskFootprint
	}
	return size
}

// Footprint returns the number of bytes that a job takes: its record at each instance, and at the
// leader the occurrences that are due within footprintSpan.
func Footprint(j *Job) int64 {
	due := int64(1)
	if times := int64(j.GetTimes()); times > 1 && j.GetInterval() > 0 {
		due = min(times, 1+footprintSpan.Milliseconds()/j.GetInterval())
	}
	return RecordFootprint(j) + jobFootprint + int64(j.GetTimes()+7)/8 + due*OccurrenceFootprint(j)
}

// RecordFootprint returns the number of bytes that the record of a job takes at each instance.
func RecordFootprint(j *Job) int64 {
	return recordFootprint + recordStepFootprint*int64(len(j.GetSteps())) + int64(proto.Size(j))
}
