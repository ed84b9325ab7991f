// Package pb defines the messages and drpc services through which daemons
// communicate. The generated files are committed; run go generate after a
// change to a .proto file.
package pb

//go:generate protoc --plugin=protoc-gen-go=../../bin/protoc-gen-go --plugin=protoc-gen-go-drpc=../../bin/protoc-gen-go-drpc --go_out=paths=source_relative:. --go-drpc_out=paths=source_relative:. mesh.proto fleet.proto
