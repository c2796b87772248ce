// Package wire holds the messages of the calls between ambertiller's own
// processes, and converts the parts that other packages keep in their own types.
//
// # Usage
//
//	client := wire.NewDRPCGuardClient(pool.Conn(address))
//	reply, err := client.Start(ctx, &wire.StartRequest{...})
//
// The calls and the units of their fields are in wire.proto.
package wire

import "ambertiller.example/ambertiller/document"

// EncodeVersions converts document versions to their message.
func EncodeVersions(versions []document.Version) []*DocumentVersion {
	converted := make([]*DocumentVersion, 0, len(versions))
	for _, each := range versions {
		converted = append(converted, &DocumentVersion{Name: each.Name, Version: each.Version})
	}
	return converted
}

// DecodeVersions converts document versions from their message.
func DecodeVersions(versions []*DocumentVersion) []document.Version {
	converted := make([]document.Version, 0, len(versions))
	for _, each := range versions {
		converted = append(converted, document.Version{Name: each.GetName(), Version: each.GetVersion()})
	}
	return converted
}

// EncodeCopies converts document copies to their message.
func EncodeCopies(copies []document.Copy) []*DocumentCopy {
	converted := make([]*DocumentCopy, 0, len(copies))
	for _, each := range copies {
		converted = append(converted, &DocumentCopy{Name: each.Name, Version: each.Version, Content: each.Content})
	}
	return converted
}

// DecodeCopy converts a document copy from its message.
func DecodeCopy(copied *DocumentCopy) document.Copy {
	return document.Copy{Name: copied.GetName(), Version: copied.GetVersion(), Content: copied.GetContent()}
}
