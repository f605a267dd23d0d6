/**
 * Names, formats and calls of the operators' managed platform. The codecs translate between the
 * platform's wire formats and the types of {@code core}; they make no decisions. Where a wire name
 * is misleading, a comment says what the field holds.
 */
package org.papayawalk.platform;
