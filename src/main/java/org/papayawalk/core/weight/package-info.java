/**
 * Distribution of one version's chunks: which source to ask for which chunk and when, and how fast
 * to send. A chunk is verified before it is held, offered or loaded.
 */
package org.papayawalk.core.weight;
