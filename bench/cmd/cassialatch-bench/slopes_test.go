package main

import (
	"os"
	"path/filepath"
	"testing"

	"github.com/matryer/is"
)

func TestReadSeries_FitsRowsWithSize(t *testing.T) {
	is := is.New(t)
	file := filepath.Join(t.TempDir(), "figures.csv")
	rows := "measure,case,run,value,unit\npeers,9,1,19,B/s\npeers,18,1,37,B/s\npeers,36,1,73,B/s\npeers,zone of target,1,5,B/s\n"
	is.NoErr(os.WriteFile(file, []byte(rows), 0o600))

	all, err := readSeries(file)
	is.NoErr(err)
	is.Equal(len(all), 1)
	is.Equal(len(all[0].x), 3) // the case without a size is skipped
	intercept, slope, r2, maxResidual := all[0].fit()
	const slack = 1e-9
	is.True(intercept > 1-slack && intercept < 1+slack)
	is.True(slope > 2-slack && slope < 2+slack)
	is.True(r2 > 1-slack && maxResidual < slack)
}
