// Command tablegen writes the Markdown page of result codes to the file named by its
// argument.
package main

import (
	"log"
	"os"

	"bramleyshunt/coder"
)

func main() {
	f, err := os.Create(os.Args[1])
	if err != nil {
		log.Fatal(err)
	}
	if err := coder.WriteTable(f); err != nil {
		log.Fatal(err)
	}
	if err := f.Close(); err != nil {
		log.Fatal(err)
	}
}
