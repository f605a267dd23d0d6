package org.papayawalk.core.stream;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import net.jqwik.api.constraints.StringLength;

/** Properties of {@link EventBoundary} and {@link StreamEndRule}: streams cut at any byte. */
final class StreamEndProperties {
    /** Line ends of a stream; a stream with CR alone has no others. */
    private static final List<List<String>> LINE_ENDS =
            List.of(List.of("\n"), List.of("\r\n"), List.of("\r"), List.of("\n", "\r\n"));

    /**
     * A stream that is cut is inside an event unless it is cut behind one, and has exactly the
     * events that lie before the cut.
     *
     * @param texts data of the events, one to three lines each
     * @param style index of the line ends
     * @param cutShare where the stream is cut, in thousandths of its length
     * @param bufferBytes size of the buffers in which the stream arrives, in bytes
     */
    @Property(tries = 2000, seed = "7431")
    void cutStreamIsInsideAnEventUnlessCutBehindOne(
            @ForAll @Size(min = 1, max = 6) List<@StringLength(max = 9) String> texts,
            @ForAll @IntRange(max = 3) int style,
            @ForAll @IntRange(max = 1000) int cutShare,
            @ForAll @IntRange(min = 1, max = 12) int bufferBytes) {
        ByteArrayOutputStream stream = new ByteArrayOutputStream();
        List<Integer> ends = new ArrayList<>();
        for (int i = 0; i < texts.size(); i++) {
            stream.writeBytes(event(i, texts.get(i), LINE_ENDS.get(style)));
            ends.add(stream.size());
        }
        int cut = stream.size() * cutShare / 1000;
        byte[] sent = Arrays.copyOf(stream.toByteArray(), cut);

        VerbatimEventSplitter splitter = new VerbatimEventSplitter();
        List<VerbatimEventSplitter.Event> events = new ArrayList<>();
        for (int from = 0; from < cut; from += bufferBytes) {
            events.addAll(
                    splitter.feed(
                            Arrays.copyOfRange(sent, from, Math.min(cut, from + bufferBytes))));
        }

        long whole = ends.stream().filter(e -> e <= cut).count();
        boolean inside = cut > 0 && !ends.contains(cut);
        assert events.size() == whole : events.size() + " events, " + whole + " were sent";
        assert splitter.isInsideEvent() == inside : "inside an event: " + !inside;
        assert splitter.eventSeen() == whole > 0;
        int bytes = events.stream().mapToInt(e -> e.bytes().length).sum();
        assert bytes + splitter.takePartial().length == cut : "bytes were lost or added";
        for (BodyEnd end : BodyEnd.values()) {
            boolean complete = !inside && (whole > 0 || end != BodyEnd.CONNECTION);
            assert StreamEndRule.defect(end, inside, whole > 0).isEmpty() == complete
                    : end + " at " + cut + " of " + stream.size();
        }
    }

    /**
     * Empty lines behind the last event begin no event.
     *
     * @param lines number of empty lines
     * @param style index of the line ends
     */
    @Property(tries = 40, seed = "7432")
    void emptyLinesBehindAnEventAreNoEvent(
            @ForAll @IntRange(max = 5) int lines, @ForAll @IntRange(max = 2) int style) {
        String lineEnd = LINE_ENDS.get(style).get(0);
        VerbatimEventSplitter splitter = new VerbatimEventSplitter();
        int events =
                splitter.feed(event(1, "a", List.of(lineEnd))).size()
                        + splitter.feed(bytes(lineEnd.repeat(lines))).size();
        assert events == 1 && !splitter.isInsideEvent();
        assert splitter.takePartial().length == lines * lineEnd.length();
    }

    private static byte[] event(int id, String text, List<String> lineEnds) {
        StringBuilder event = new StringBuilder("id: " + id + end(lineEnds, 0));
        int[] lines = text.replaceAll("[\r\n]", "").codePoints().toArray();
        event.append("data: ").append(new String(lines, 0, lines.length)).append(end(lineEnds, 1));
        return bytes(event.append(end(lineEnds, id)).toString());
    }

    private static String end(List<String> lineEnds, int index) {
        return lineEnds.get(index % lineEnds.size());
    }

    private static byte[] bytes(String text) {
        return text.getBytes(StandardCharsets.UTF_8);
    }
}
