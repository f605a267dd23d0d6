/** Streams of numbered parts that end with a mark. */
package org.papayawalk.core.stream;
