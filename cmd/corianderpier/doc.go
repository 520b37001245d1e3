// Command corianderpier is one entry instance of the serving layer.
package main
