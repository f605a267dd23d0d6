/** Settings by flag and environment variable, checked at start. */
package org.papayawalk.settings;
