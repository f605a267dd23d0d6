package org.papayawalk.core.stream;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.List;
import java.util.OptionalLong;
import net.jqwik.api.Assume;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.AlphaChars;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import net.jqwik.api.constraints.StringLength;

/** Cuts streams that arrive in arbitrary parts. */
final class VerbatimEventSplitterProperties {

    /**
     * Whatever the parts, the events are the same, and no byte is lost or changed.
     *
     * @param texts data of the events
     * @param partBytes length of the parts
     * @param carriageReturns whether lines end with a carriage return too
     */
    @Property(tries = 300, seed = "7411")
    void partsDoNotMatter(
            @ForAll @Size(min = 1, max = 12) List<@AlphaChars @StringLength(max = 20) String> texts,
            @ForAll @IntRange(min = 1, max = 40) int partBytes,
            @ForAll boolean carriageReturns) {
        String end = carriageReturns ? "\r\n" : "\n";
        StringBuilder stream = new StringBuilder();
        for (int i = 0; i < texts.size(); i++) {
            stream.append("id: ").append(i).append(end);
            stream.append("data: ").append(texts.get(i)).append(end).append(end);
        }
        byte[] bytes = stream.toString().getBytes(StandardCharsets.UTF_8);
        VerbatimEventSplitter cutter = new VerbatimEventSplitter();
        ByteArrayOutputStream passed = new ByteArrayOutputStream();
        int events = 0;
        for (int from = 0; from < bytes.length; from += partBytes) {
            int to = Math.min(bytes.length, from + partBytes);
            for (VerbatimEventSplitter.Event e : cutter.feed(Arrays.copyOfRange(bytes, from, to))) {
                assert e.id().equals(OptionalLong.of(events)) : "event " + events + ": " + e.id();
                passed.writeBytes(e.bytes());
                events++;
            }
        }
        assert events == texts.size() : events + " events of " + texts.size();
        assert Arrays.equals(passed.toByteArray(), bytes) : "bytes were changed";
        assert cutter.takePartial().length == 0 : "bytes are left";
    }

    /**
     * An event that is cut off is never passed on as an event.
     *
     * @param cut bytes that are missing at the end
     */
    @Property(tries = 300, seed = "7412")
    void cutEventIsKeptBack(@ForAll @IntRange(min = 0, max = 30) int cut) {
        byte[] whole =
                "id: 1\ndata: fondant\n\nid: 2\ndata: ube\n\n".getBytes(StandardCharsets.UTF_8);
        Assume.that(cut < whole.length);
        VerbatimEventSplitter cutter = new VerbatimEventSplitter();
        int kept = whole.length - cut;
        List<VerbatimEventSplitter.Event> events = cutter.feed(Arrays.copyOf(whole, kept));
        int length = events.stream().mapToInt(e -> e.bytes().length).sum();
        assert length + cutter.takePartial().length == kept : "bytes were lost";
        for (VerbatimEventSplitter.Event e : events) {
            String text = new String(e.bytes(), StandardCharsets.UTF_8);
            assert text.endsWith("\n\n") : "an event is not whole: " + text;
        }
    }
}
