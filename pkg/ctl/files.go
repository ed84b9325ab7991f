package ctl

import (
	"os"
	"path/filepath"

	"nutmegstand.example/nutmegstand/pkg/admin"
)

// readFiles reads operator files. A directory is replaced by its *.json files in
// lexical order; subdirectories are ignored.
func readFiles(names []string) ([]admin.FileBody, error) {
	if len(names) == 0 {
		return nil, &UsageError{Message: "at least one file or directory is needed"}
	}
	var files []admin.FileBody
	for _, name := range names {
		info, err := os.Stat(name)
		if err != nil {
			return nil, &UsageError{Message: err.Error()}
		}
		paths := []string{name}
		if info.IsDir() {
			if paths, err = filepath.Glob(filepath.Join(escapeGlob(name), "*.json")); err != nil || len(paths) == 0 {
				return nil, &UsageError{Message: name + " holds no .json file"}
			}
		}
		for _, path := range paths {
			content, err := os.ReadFile(path)
			if err != nil {
				return nil, &UsageError{Message: err.Error()}
			}
			files = append(files, admin.FileBody{Name: filepath.ToSlash(path), Content: string(content)})
		}
	}
	return files, nil
}

// escapeGlob escapes the glob metacharacters in a directory name.
func escapeGlob(name string) string {
	var quoted []byte
	for i := range len(name) {
		switch name[i] {
		case '*', '?', '[', '\\':
			quoted = append(quoted, '\\')
		}
		quoted = append(quoted, name[i])
	}
	return string(quoted)
}
