// Package chart interprets state charts that are kept in files; the charts of the product lie beside it.
package chart
