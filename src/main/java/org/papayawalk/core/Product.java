package org.papayawalk.core;

/** What every program says of itself. Holds no state. */
public final class Product {
    /** Version of this release. */
    public static final String VERSION = "0.1.0";

    /** Prevents instances. */
    private Product() {}
}
