/** Settings from flags and environment variables, validated at the start of a process. */
package org.papayawalk.settings;
