// Package wire holds the messages of the RPCs between ambertiller's own processes, and
// converts those parts for which other packages have types of their own.
//
// # Usage
//
//	client := wire.NewDRPCGuardClient(pool.Conn(address))
//	reply, err := client.Start(ctx, &wire.StartRequest{...})
//
// The file wire.proto describes the RPCs and the units of their fields.
package wire

import "ambertiller.example/ambertiller/document"

// EncodeVersions converts document versions to messages.
func EncodeVersions(versions []document.Version) []*DocumentVersion {
	converted := make([]*DocumentVersion, 0, len(versions))
	for _, version := range versions {
		converted = append(converted, &DocumentVersion{Name: version.Name, Version: version.Version})
	}
	return converted
}

// DecodeVersions converts messages to document versions.
func DecodeVersions(versions []*DocumentVersion) []document.Version {
	converted := make([]document.Version, 0, len(versions))
	for _, version := range versions {
		converted = append(converted, document.Version{Name: version.GetName(), Version: version.GetVersion()})
	}
	return converted
}

// EncodeCopies converts document copies to messages.
func EncodeCopies(copies []document.Copy) []*DocumentCopy {
	converted := make([]*DocumentCopy, 0, len(copies))
	for _, copied := range copies {
		converted = append(converted, &DocumentCopy{Name: copied.Name, Version: copied.Version, Content: copied.Content})
	}
	return converted
}

// DecodeCopy converts a message to a document copy.
func DecodeCopy(message *DocumentCopy) document.Copy {
	return document.Copy{Name: message.GetName(), Version: message.GetVersion(), Content: message.GetContent()}
}
