/** What a process is told about the machine and the site that it runs on. Immutable. */
package org.papayawalk.core.settings;
