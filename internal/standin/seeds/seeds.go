// Package seeds makes property tests generate the same cases in every run, so that a test result changes only when the
// code does. A test file that uses rapid imports it for its side effect, once in each package. A TestMain would have to
// be repeated in each package, and some packages have one for another purpose.
//
// The flag -rapid.seed still selects other cases; "pinedale-bench properties" runs the tests with many seeds.
package seeds

import (
	"flag"
	"os"
	"path/filepath"

	_ "pgregory.net/rapid" // defines the flags
)

// defaults are the values of rapid's flags. The seed may be any number but 0, which selects a random seed.
var defaults = map[string]string{
	"rapid.seed":       "1",
	"rapid.nofailfile": "true",
}

// failFiles are the files in which rapid records failed cases, from the folder of the tested package.
const failFiles = "testdata/rapid/*/*.fail"

func init() {
	for name, value := range defaults {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	removeFailFiles()
}

// removeFailFiles removes recorded failures. Rapid repeats them first, regardless of its flags, and failures recorded
// with another version of the code must not affect the result for this one.
func removeFailFiles() {
	paths, err := filepath.Glob(failFiles)
	if err != nil {
		panic(err) // the pattern is malformed
	}
	for _, path := range paths {
		os.Remove(path)
	}
}
