/** Interfaces to services of the platform and to model engines, with their data types. */
package org.papayawalk.core.port;
