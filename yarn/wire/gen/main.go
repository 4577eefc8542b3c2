// Command gen generates the Go code of the .proto files in yarn/wire/pb without protoc. The command
// `go generate ./yarn/wire` runs it.
package main

import (
	"context"
	"fmt"
	"os"
	"path/filepath"

	"github.com/bufbuild/protocompile"
	"google.golang.org/protobuf/cmd/protoc-gen-go/internal_gengo"
	"google.golang.org/protobuf/compiler/protogen"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/reflect/protodesc"
	"google.golang.org/protobuf/types/descriptorpb"
	"google.golang.org/protobuf/types/pluginpb"
)

var files = []string{"rpc.proto", "yarn.proto"}

func main() {
	if err := run("pb"); err != nil {
		fmt.Fprintln(os.Stderr, "gen:", err)
		os.Exit(1)
	}
}

func run(dir string) error {
	c := protocompile.Compiler{Resolver: &protocompile.SourceResolver{ImportPaths: []string{dir}}, SourceInfoMode: protocompile.SourceInfoStandard}
	compiled, err := c.Compile(context.Background(), files...)
	if err != nil {
		return err
	}
	var all []*descriptorpb.FileDescriptorProto
	for _, f := range compiled {
		all = append(all, protodesc.ToFileDescriptorProto(f))
	}
	req := &pluginpb.CodeGeneratorRequest{FileToGenerate: files, ProtoFile: all, Parameter: proto.String("paths=source_relative")}
	p, err := protogen.Options{}.New(req)
	if err != nil {
		return err
	}
	for _, f := range p.Files {
		if f.Generate {
			internal_gengo.GenerateFile(p, f)
		}
	}
	resp := p.Response()
	if resp.Error != nil {
		return fmt.Errorf("%s", *resp.Error)
	}
	for _, f := range resp.File {
		if err := os.WriteFile(filepath.Join(dir, f.GetName()), []byte(f.GetContent()), 0o644); err != nil {
			return err
		}
	}
	return nil
}
