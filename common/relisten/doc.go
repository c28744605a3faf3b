// Package relisten keeps an address open: a listener whose Accept fails pauses or is opened again, instead of ending its server.
package relisten
