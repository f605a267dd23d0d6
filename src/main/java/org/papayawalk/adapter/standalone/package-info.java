/**
 * Adapters of the stand-alone setting. They implement the interfaces of {@code core.port} (table
 * service, object store, host list, origin and model engine) over the project's own HTTP interface,
 * with a blocking HTTP client. The JSON formats of configurations and manifests are here as well.
 */
package org.papayawalk.adapter.standalone;
