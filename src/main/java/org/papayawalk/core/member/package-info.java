/**
 * Which hosts exist and what is known of them: the platform's lagging list joined with what daemons
 * hear from each other.
 */
package org.papayawalk.core.member;
