package org.papayawalk.lab.standin;

/**
 * Order to an engine to change its role. Immutable.
 *
 * @param role {@code serve}, {@code prefill} or {@code decode}
 * @param fencing fencing number of the order
 */
public record RoleChange(String role, long fencing) {}
