package org.papayawalk.platform;

import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Map;

/** Values of rows of the server table that name no server to use. Stateless and thread-safe. */
public final class OddRegistrations {
    private static final String FIELDS =
            """
            {"service":"desk","address":"%s","zone":"luzon-a","slots":%s,"state":"ready","born":%s}
            """;

    private static final String USUAL_SLOTS = "4";

    private static final String USUAL_BORN = "1";

    private static final int[] DEPTHS = {500, 1_000, 20_000};

    private static final int[] DIGITS = {20, 400, 40_000};

    private OddRegistrations() {}

    /**
     * Returns odd values that are otherwise like the registration of a server.
     *
     * @param address address of a running server
     * @return value by what is odd about it
     */
    public static Map<String, byte[]> all(String address) {
        Map<String, String> texts = new LinkedHashMap<>();
        addAddresses(texts);
        addNumbers(texts, address);
        addNested(texts, address);
        addStructures(texts, address);
        Map<String, byte[]> values = new LinkedHashMap<>();
        texts.forEach((name, text) -> values.put(name, text.getBytes(StandardCharsets.UTF_8)));
        values.put("invalid UTF-8", invalidUtf8(address));
        values.put("zero bytes", new byte[] {0, 0, 0, 0, 0, 0, 0, 0});
        return values;
    }

    private static void addAddresses(Map<String, String> texts) {
        String[] addresses = {
            "127.0.0.1:0",
            "127.0.0.1:65536",
            "127.0.0.1:99999",
            "127.0.0.1:-1",
            "127.0.0.1:",
            "127.0.0.1",
            "127.0.0.1:999999999999",
            "1.2.3.999:80",
            "256.0.0.1:80",
            "0.0.0.0:80",
            "255.255.255.255:80",
            "224.0.0.1:80",
            "localhost:80",
            "[::1]:80",
            "::1:80",
            " 127.0.0.1:80",
            "127.0.0.1: 80",
            "127.0.0.1:80 ",
            "127.0.0.1:80\\n",
            ":80",
            "",
            "\\ud800",
            "1".repeat(60_000) + ":80"
        };
        for (String a : addresses) {
            String shown = a.length() > 30 ? a.length() + " characters" : a;
            texts.put("address " + shown, FIELDS.formatted(a, USUAL_SLOTS, USUAL_BORN));
        }
    }

    private static void addNumbers(Map<String, String> texts, String address) {
        String[] slots = {
            "0",
            "-1",
            "1.5",
            "4.0",
            "1e3",
            "2147483647",
            "2147483648",
            "4294967297",
            "null",
            "\"4\""
        };
        for (String s : slots) {
            texts.put("slots " + s, FIELDS.formatted(address, s, USUAL_BORN));
        }
        String[] born = {
            "-1", "1.5", "9223372036854775807", "9223372036854775808", "null", "\"1\"", "[1]"
        };
        for (String b : born) {
            texts.put("born " + b, FIELDS.formatted(address, USUAL_SLOTS, b));
        }
        for (String n : new String[] {"1e400", "-1e400", "1e999999999", "NaN", "Infinity"}) {
            texts.put("slots " + n, FIELDS.formatted(address, n, USUAL_BORN));
            texts.put("born " + n, FIELDS.formatted(address, USUAL_SLOTS, n));
        }
        for (int digits : DIGITS) {
            String number = "9".repeat(digits);
            texts.put("slots of " + digits + " digits", FIELDS.formatted(address, number, "1"));
            texts.put("born of " + digits + " digits", FIELDS.formatted(address, "4", number));
            texts.put("sequence of " + digits + " digits", with(address, "\"sequence\":" + number));
            texts.put(
                    "model version of " + digits + " digits",
                    with(address, "\"models\":[{\"name\":\"m\",\"version\":" + number + "}]"));
        }
    }

    private static void addNested(Map<String, String> texts, String address) {
        for (int depth : DEPTHS) {
            String arrays = "[".repeat(depth) + "]".repeat(depth);
            String objects = "{\"a\":".repeat(depth) + "1" + "}".repeat(depth);
            texts.put("arrays of depth " + depth, with(address, "\"x\":" + arrays));
            texts.put("objects of depth " + depth, with(address, "\"models\":" + objects));
            texts.put("root of depth " + depth, arrays);
            texts.put("unclosed arrays of depth " + depth, "[".repeat(depth));
            texts.put(
                    "service of depth " + depth,
                    "{\"service\":%s,\"address\":\"%s\",\"zone\":\"z\",\"slots\":4,"
                                    .formatted(arrays, address)
                            + "\"state\":\"ready\"}");
        }
    }

    private static void addStructures(Map<String, String> texts, String address) {
        texts.put("empty", "");
        texts.put("null", "null");
        texts.put("a number", "1");
        texts.put("a text", "\"ready\"");
        texts.put("an array", "[" + valid(address) + "]");
        texts.put("an empty object", "{}");
        texts.put("cut short", valid(address).strip().substring(0, 60));
        texts.put("followed by other text", valid(address) + "}{");
        texts.put("unknown state", valid(address).replace("ready", "gone"));
        texts.put("state as array", valid(address).replace("\"ready\"", "[\"ready\"]"));
        texts.put("empty service", valid(address).replace("desk", ""));
        texts.put("zone with a blank", valid(address).replace("luzon-a", "luzon a"));
        texts.put("zone with a surrogate", valid(address).replace("luzon-a", "\\ud800"));
        texts.put("long zone", valid(address).replace("luzon-a", "z".repeat(60_000)));
        for (String field : new String[] {"service", "address", "zone", "slots", "state"}) {
            texts.put("no " + field, valid(address).replace('"' + field + '"', "\"other\""));
        }
    }

    private static String valid(String address) {
        return FIELDS.formatted(address, USUAL_SLOTS, USUAL_BORN);
    }

    private static String with(String address, String field) {
        return valid(address).replace("\"born\"", field + ",\"born\"");
    }

    private static byte[] invalidUtf8(String address) {
        byte[] bytes = valid(address).getBytes(StandardCharsets.UTF_8);
        bytes[valid(address).indexOf("luzon")] = (byte) 0xff;
        return bytes;
    }
}
