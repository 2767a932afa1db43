// Package operator is the generated HTTP interface described in operator.yaml.
package operator
