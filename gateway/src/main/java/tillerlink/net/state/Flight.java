package tillerlink.net.state;

import tillerlink.model.Hop;

/** A hop on its way: the connection that bears it, and the pages of its result that have come. */
final class Flight {
    /** While its connection is not up. */
    static final long UNSENT = Long.MAX_VALUE;

    final Hop hop;
    final Call call;
    EngineLink link;
    /** Its place among the writes of its connection; none of it has been written before that one is. */
    long place = UNSENT;
    byte[][] pages;
    int missing;
    /** Bytes of the pages that have come. */
    int bytes;
    /** How often its pages were asked for on a further connection. */
    int mended;

    Flight(Hop hop, Call call) {
        this.hop = hop;
        this.call = call;
    }

    /** Whether a page is one that was asked for and has not come. */
    boolean lacks(int number) {
        return pages != null && number >= 1 && number < pages.length && pages[number] == null;
    }

    void take(int number, byte[] page) {
        pages[number] = page;
        bytes += page.length;
        missing--;
    }
}
