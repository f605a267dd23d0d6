/** Settings of a process on the managed platform: its host, its addresses and operator limits. */
package org.papayawalk.core.settings;
