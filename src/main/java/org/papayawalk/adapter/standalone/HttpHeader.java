package org.papayawalk.adapter.standalone;

/**
 * Header of a request or a response. Immutable.
 *
 * @param name name, compared without regard to case
 * @param value value
 */
public record HttpHeader(String name, String value) {}
