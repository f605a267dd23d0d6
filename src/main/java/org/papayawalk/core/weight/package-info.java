/**
 * Distribution of the chunks of a version of model weights, in both programs: which chunk to
 * request from which source and when, and at which rate to transfer it. A chunk is verified against
 * its digest before it is held, offered to peers or loaded.
 */
package org.papayawalk.core.weight;
