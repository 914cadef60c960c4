package hfwork

import (
	"fmt"
	"strings"
	"time"
)

// SummarizeSteps returns a one-line summary of the steps of a job for logs. For example,
// "8x4 gang compact 2500ms" stands for eight tasks of four accelerators each that run as a
// gang, preferably in one rack, with an estimated run time of 2500 ms.
func SummarizeSteps(j *Job) string {
	var b strings.Builder
	for n, s := range j.GetSteps() {
		if n > 0 {
			b.WriteString("; ")
		}
		fmt.Fprintf(&b, "%dx%d", s.GetCount(), s.GetAccelerators())
		for _, flag := range []struct {
			set  bool
			word string
		}{
			{s.GetGang(), "gang"},
			{s.GetCompact(), "compact"},
			{s.GetSaves(), "saves"},
			{s.GetLasting(), "lasting"},
			{s.GetFiller(), "filler"},
			{s.GetCopies(), "copies"},
			{s.GetApart() > 0, "apart"},
			{s.GetNear() != "", "near"},
			{s.GetLabel() != "", "labelled"},
			{len(s.GetAfter()) > 0, "after"},
		} {
			if flag.set {
				b.WriteString(" " + flag.word)
			}
		}
		fmt.Fprintf(&b, " %dms", s.GetEstimate())
	}
	if j.GetTimes() > 0 {
		fmt.Fprintf(&b, "; %d times every %dms", j.GetTimes(), j.GetInterval())
	}
	return b.String()
}

// Chain returns the length of the longest chain of dependent steps of a job, by declared run times.
func Chain(job *Job) time.Duration {
	longest := time.Duration(0)
	ends := make([]time.Duration, len(job.GetSteps()))
	for i, step := range job.GetSteps() {
		for _, after := range step.GetAfter() {
			if int(after) < i {
				ends[i] = max(ends[i], ends[after])
			}
		}
		ends[i] += time.Duration(max(step.GetEstimate(), 1)) * time.Millisecond
		longest = max(longest, ends[i])
	}
	return longest
}
