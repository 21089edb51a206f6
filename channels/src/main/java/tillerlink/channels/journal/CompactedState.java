package tillerlink.channels.journal;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import tillerlink.channels.cue.CueProjection;
import tillerlink.messages.FieldReader;
import tillerlink.messages.FieldWriter;
import tillerlink.messages.MalformedMessageException;
import tillerlink.messages.channels.Span;

/**
 * All that was compacted up to a slot: it is stored in place of the events, and a gateway that is
 * far behind starts from it.
 *
 * @param slot the last slot that is compacted
 * @param upTo the upper bound of that slot's cut, a stamp of the hybrid logical clock
 * @param digest over all events up to that slot
 * @param voters the gateways that decide on the next slot
 * @param spans the events that are compacted
 * @param books by channel: the projection of its compacted events
 */
public record CompactedState(
    long slot,
    long upTo,
    long digest,
    List<String> voters,
    List<Span> spans,
    Map<String, CueProjection> books) {
  private static final int SLOT = 1;
  private static final int UP_TO = 2;
  private static final int DIGEST = 3;
  private static final int VOTER = 4;
  private static final int SPAN = 5;
  private static final int BOOK = 6;

  private static final int SPAN_INCARNATION = 1;
  private static final int SPAN_FROM = 2;
  private static final int SPAN_TO = 3;

  private static final int BOOK_CHANNEL = 1;
  private static final int BOOK_PROJECTION = 2;

  private static final int MAX_NAME_BYTES = 255;

  /** Writes the state, for storage and for other gateways. */
  public byte[] bytes() {
    FieldWriter out = new FieldWriter().number(SLOT, slot).fixed(UP_TO, upTo).fixed(DIGEST, digest);
    voters.forEach(voter -> out.text(VOTER, voter));
    spans.forEach(span -> out.within(SPAN, writeSpan(span)));
    books.forEach(
        (channel, projection) ->
            out.within(
                BOOK,
                new FieldWriter()
                    .text(BOOK_CHANNEL, channel)
                    .within(BOOK_PROJECTION, projection.written())));
    return out.done();
  }

  private static FieldWriter writeSpan(Span span) {
    return new FieldWriter()
        .fixed(SPAN_INCARNATION, span.incarnation())
        .number(SPAN_FROM, span.from())
        .number(SPAN_TO, span.to());
  }

  /**
   * Reads a state.
   *
   * @throws MalformedMessageException if the bytes are no such state
   */
  public static CompactedState read(byte[] bytes) throws MalformedMessageException {
    FieldReader in = new FieldReader(bytes);
    long slot = 0;
    long upTo = 0;
    long digest = 0;
    List<String> voters = new ArrayList<>();
    List<Span> spans = new ArrayList<>();
    Map<String, CueProjection> books = new TreeMap<>();
    while (in.next()) {
      switch (in.field()) {
        case SLOT -> slot = in.number();
        case UP_TO -> upTo = in.fixed();
        case DIGEST -> digest = in.fixed();
        case VOTER -> voters.add(in.text(MAX_NAME_BYTES));
        case SPAN -> spans.add(readSpan(in.within()));
        case BOOK -> readBook(in.within(), books);
        default -> {}
      }
    }
    if (slot <= 0 || voters.isEmpty()) {
      throw new MalformedMessageException("no sum");
    }
    return new CompactedState(slot, upTo, digest, List.copyOf(voters), spans, books);
  }

  private static Span readSpan(FieldReader in) throws MalformedMessageException {
    long incarnation = 0;
    long from = 0;
    long to = 0;
    while (in.next()) {
      switch (in.field()) {
        case SPAN_INCARNATION -> incarnation = in.fixed();
        case SPAN_FROM -> from = in.number();
        case SPAN_TO -> to = in.number();
        default -> {}
      }
    }
    return new Span(incarnation, from, to);
  }

  private static void readBook(FieldReader in, Map<String, CueProjection> books)
      throws MalformedMessageException {
    String channel = "";
    CueProjection projection = new CueProjection();
    while (in.next()) {
      switch (in.field()) {
        case BOOK_CHANNEL -> channel = in.text(MAX_NAME_BYTES);
        case BOOK_PROJECTION -> projection = CueProjection.read(in.within());
        default -> {}
      }
    }
    books.put(channel, projection);
  }
}
