package fit

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"slices"

	"brasswell/internal/rig/scale/result"
)

// File is one run and the name of its file.
type File struct {
	Name string
	Run  *result.Run
}

// FileError is a file that cannot be used: where, why, and what to do about it.
type FileError struct {
	Path string
	Err  error
	Mend string
}

// Error names the file, the cause and the mend.
func (e *FileError) Error() string { return fmt.Sprintf("%s: %v: %s", e.Path, e.Err, e.Mend) }

// Unwrap is the cause.
func (e *FileError) Unwrap() error { return e.Err }

// The mends of files that cannot be used.
const (
	mendFolder = "name the folder that holds the files of `brasswell scale --format json`, or with a folder calls of `brasswell scale calls --format json`"
	mendFile   = "measure it again, or take the file out of the folder"
)

// errNoFiles: a folder holds no results.
var errNoFiles = errors.New("no *.json files in it")

// readRuns reads all runs of a folder, in the order of their names. A folder without any is no error.
func readRuns(folder string) ([]File, error) {
	paths, err := jsonFiles(folder)
	if err != nil {
		return nil, err
	}
	var files []File
	for _, path := range paths {
		text, err := readWhole(path)
		if err != nil {
			return nil, err
		}
		run, err := result.Read(bytes.NewReader(text))
		if err == nil {
			err = checkRun(run)
		}
		if err != nil {
			return nil, &FileError{path, err, mendFile}
		}
		files = append(files, File{filepath.Base(path), run})
	}
	return files, nil
}

// jsonFiles are the paths of a folder's *.json files, sorted.
func jsonFiles(folder string) ([]string, error) {
	entries, err := os.ReadDir(folder)
	switch {
	case errors.Is(err, os.ErrNotExist):
		return nil, &FileError{folder, errors.New("no such folder"), mendFolder}
	case err != nil:
		return nil, &FileError{folder, errors.New("cannot be read as a folder"), mendFolder}
	}
	var paths []string
	for _, entry := range entries {
		if !entry.IsDir() && filepath.Ext(entry.Name()) == ".json" {
			paths = append(paths, filepath.Join(folder, entry.Name()))
		}
	}
	slices.Sort(paths)
	return paths, nil
}

// readWhole reads a file that must be one JSON value.
func readWhole(path string) ([]byte, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, &FileError{path, errors.New("cannot be read"), mendFile}
	}
	if !json.Valid(text) {
		return nil, &FileError{path, errors.New("cut, or not one JSON value"), mendFile}
	}
	return text, nil
}
