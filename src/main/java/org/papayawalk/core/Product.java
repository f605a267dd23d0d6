package org.papayawalk.core;

/** Release information that all programs print and log. */
public final class Product {
    /** Version of this release: major, minor and patch number. */
    public static final String VERSION = "0.1.0";

    private Product() {}
}
