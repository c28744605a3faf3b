// Package resume records which software version began a stream, so that the stream goes on only at targets of that version.
package resume
