// Command protogen compiles the protobuf schema under proto/ and writes the generated Go code next
// to the .proto files. Its argument is the root directory of the module, by default the working
// directory.
//
// It compiles with the Go package protocompile and runs the code generators as tools of the module,
// so that no installed protoc is needed.
package main

import (
	"bytes"
	"context"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"sort"

	"github.com/bufbuild/protocompile"
	"github.com/bufbuild/protocompile/protoutil"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/reflect/protoreflect"
	"google.golang.org/protobuf/types/descriptorpb"
	"google.golang.org/protobuf/types/pluginpb"
)

// schemaDir is the directory of the schema, relative to the module.
const schemaDir = "proto"

// plugins names the protoc plugins that generate Go code. They are listed as tools in go.mod.
var plugins = []string{"protoc-gen-go", "protoc-gen-go-drpc"}

func main() {
	root := "."
	if len(os.Args) > 1 {
		root = os.Args[1]
	}
	if err := run(root); err != nil {
		fmt.Fprintln(os.Stderr, "protogen:", err)
		os.Exit(1)
	}
}

func run(root string) error {
	names, err := schemaFiles(root)
	if err != nil {
		return err
	}
	request, err := compile(root, names)
	if err != nil {
		return err
	}
	for _, plugin := range plugins {
		if err := generate(root, plugin, request); err != nil {
			return fmt.Errorf("%s: %w", plugin, err)
		}
	}
	return nil
}

// schemaFiles returns the sorted paths of the .proto files relative to schemaDir.
func schemaFiles(root string) ([]string, error) {
	paths, err := filepath.Glob(filepath.Join(root, schemaDir, "*", "*", "*.proto"))
	if err != nil {
		return nil, err
	}
	names := make([]string, 0, len(paths))
	for _, path := range paths {
		name, err := filepath.Rel(filepath.Join(root, schemaDir), path)
		if err != nil {
			return nil, err
		}
		names = append(names, filepath.ToSlash(name))
	}
	sort.Strings(names)
	return names, nil
}

// compile compiles the files with the given names and returns the request to the plugins.
func compile(root string, names []string) (*pluginpb.CodeGeneratorRequest, error) {
	resolver := &protocompile.SourceResolver{ImportPaths: []string{filepath.Join(root, schemaDir)}}
	compiler := protocompile.Compiler{
		Resolver:       protocompile.WithStandardImports(resolver),
		SourceInfoMode: protocompile.SourceInfoStandard,
	}
	files, err := compiler.Compile(context.Background(), names...)
	if err != nil {
		return nil, err
	}
	request := &pluginpb.CodeGeneratorRequest{
		FileToGenerate: names,
		Parameter:      proto.String("paths=source_relative"),
	}
	seen := map[string]bool{}
	for _, file := range files {
		request.ProtoFile = appendWithImports(request.ProtoFile, file, seen)
	}
	return request, nil
}

// appendWithImports appends file and the files that it imports to list, except those in seen. As
// plugins require, each file follows its imports.
func appendWithImports(list []*descriptorpb.FileDescriptorProto, file protoreflect.FileDescriptor, seen map[string]bool) []*descriptorpb.FileDescriptorProto {
	if seen[file.Path()] {
		return list
	}
	seen[file.Path()] = true
	imports := file.Imports()
	for i := range imports.Len() {
		list = appendWithImports(list, imports.Get(i).FileDescriptor, seen)
	}
	return append(list, protoutil.ProtoFromFileDescriptor(file))
}

// generate runs the plugin with the request and writes the files that it returns.
func generate(root, plugin string, request *pluginpb.CodeGeneratorRequest) error {
	input, err := proto.Marshal(request)
	if err != nil {
		return err
	}
	cmd := exec.Command("go", "tool", plugin)
	cmd.Dir = root
	cmd.Stdin = bytes.NewReader(input)
	cmd.Stderr = os.Stderr
	output, err := cmd.Output()
	if err != nil {
		return err
	}
	var response pluginpb.CodeGeneratorResponse
	if err := proto.Unmarshal(output, &response); err != nil {
		return err
	}
	if response.Error != nil {
		return fmt.Errorf("%s", response.GetError())
	}
	for _, file := range response.File {
		path := filepath.Join(root, schemaDir, filepath.FromSlash(file.GetName()))
		if err := os.WriteFile(path, []byte(file.GetContent()), 0o644); err != nil {
			return err
		}
	}
	return nil
}
