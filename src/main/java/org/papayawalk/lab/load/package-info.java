/** Model of engines, entries and callers on virtual time, which runs the product's decisions. */
package org.papayawalk.lab.load;
