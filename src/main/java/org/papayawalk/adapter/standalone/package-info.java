/** Adapters that meet the platform and model engines over HTTP. */
package org.papayawalk.adapter.standalone;
