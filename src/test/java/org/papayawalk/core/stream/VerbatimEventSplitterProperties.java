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

/** Properties of {@link VerbatimEventSplitter}: independence of buffer sizes, and truncation. */
final class VerbatimEventSplitterProperties {

    /**
     * The events do not depend on the sizes of the buffers, and no byte is lost or changed.
     *
     * @param texts data of the events
     * @param bufferBytes size of the buffers in which the stream arrives, in bytes
     * @param carriageReturns whether lines end with CR LF instead of LF
     */
    @Property(tries = 300, seed = "7411")
    void splitsEventsWithAnyBufferSize(
            @ForAll @Size(min = 1, max = 12) List<@AlphaChars @StringLength(max = 20) String> texts,
            @ForAll @IntRange(min = 1, max = 40) int bufferBytes,
            @ForAll boolean carriageReturns) {
        String lineEnd = carriageReturns ? "\r\n" : "\n";
        StringBuilder stream = new StringBuilder();
        for (int i = 0; i < texts.size(); i++) {
            stream.append("id: ").append(i).append(lineEnd);
            stream.append("data: ").append(texts.get(i)).append(lineEnd).append(lineEnd);
        }
        byte[] bytes = stream.toString().getBytes(StandardCharsets.UTF_8);
        VerbatimEventSplitter splitter = new VerbatimEventSplitter();
        ByteArrayOutputStream output = new ByteArrayOutputStream();
        int events = 0;
        for (int from = 0; from < bytes.length; from += bufferBytes) {
            int to = Math.min(bytes.length, from + bufferBytes);
            for (VerbatimEventSplitter.Event e :
                    splitter.feed(Arrays.copyOfRange(bytes, from, to))) {
                assert e.id().equals(OptionalLong.of(events)) : "event " + events + ": " + e.id();
                output.writeBytes(e.bytes());
                events++;
            }
        }
        assert events == texts.size() : events + " events of " + texts.size();
        assert Arrays.equals(output.toByteArray(), bytes) : "bytes were changed";
        assert splitter.takePartial().length == 0 : "the complete stream left an incomplete event";
    }

    /**
     * An incomplete event at the end of a truncated stream is not returned as an event.
     *
     * @param missing number of bytes that are missing at the end
     */
    @Property(tries = 300, seed = "7412")
    void keepsTruncatedEventBack(@ForAll @IntRange(min = 0, max = 30) int missing) {
        byte[] whole =
                "id: 1\ndata: fondant\n\nid: 2\ndata: ube\n\n".getBytes(StandardCharsets.UTF_8);
        Assume.that(missing < whole.length);
        VerbatimEventSplitter splitter = new VerbatimEventSplitter();
        int received = whole.length - missing;
        List<VerbatimEventSplitter.Event> events = splitter.feed(Arrays.copyOf(whole, received));
        int length = events.stream().mapToInt(e -> e.bytes().length).sum();
        assert length + splitter.takePartial().length == received : "bytes were lost or added";
        for (VerbatimEventSplitter.Event e : events) {
            String text = new String(e.bytes(), StandardCharsets.UTF_8);
            assert text.endsWith("\n\n") : "the event is incomplete: " + text;
        }
    }
}
