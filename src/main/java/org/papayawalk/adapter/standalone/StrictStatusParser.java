package org.papayawalk.adapter.standalone;

import org.apache.hc.core5.http.ParseException;
import org.apache.hc.core5.http.message.LazyLaxLineParser;
import org.apache.hc.core5.http.message.StatusLine;
import org.apache.hc.core5.util.CharArrayBuffer;
import org.papayawalk.core.call.StatusCode;

/** Parser of lines that accepts only statuses of HTTP in status lines. Stateless; thread-safe. */
final class StrictStatusParser extends LazyLaxLineParser {

    @Override
    public StatusLine parseStatusLine(CharArrayBuffer buffer) throws ParseException {
        String[] words = buffer.toString().strip().split(" +", 3);
        if (words.length < 2 || !StatusCode.isValid(words[1])) {
            throw new ParseException("status line without a valid status: " + buffer);
        }
        return super.parseStatusLine(buffer);
    }
}
