package main

import (
	"testing"

	"github.com/matryer/is"
)

func TestPeakOverMean(t *testing.T) {
	is := is.New(t)
	is.Equal(peakOverMean([]float64{2, 2, 2, 2}), 1.0)
	is.Equal(peakOverMean([]float64{4, 0, 0, 0}), 4.0)
	is.Equal(peakOverMean([]float64{0, 0}), 0.0)
}

func TestWorkspaceOf_LoadOfLargeWorkspaces(t *testing.T) {
	is := is.New(t)
	const users = 1000
	counts := make(map[string]int)
	for i := range users {
		counts[workspaceOf(i)]++
	}
	is.Equal(len(counts), workspaces)
	is.Equal(counts[workspaceName(0)], 400)
	is.Equal(counts[workspaceName(1)], 200)
	is.Equal(counts[workspaceName(2)], 100)
}
