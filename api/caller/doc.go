// Package caller is the generated HTTP interface described in caller.yaml.
package caller
