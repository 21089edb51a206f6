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
 * All that was compacted, up to a step: what a gateway far behind starts from, and what is kept in
 * place of events.
 */
public record CompactedState(
    long slot,
    long upTo,
    long digest,
    List<String> voters,
    List<Span> spans,
    Map<String, CueProjection> books) {
  public byte[] bytes() {
    FieldWriter out = new FieldWriter().number(1, slot).fixed(2, upTo).fixed(3, digest);
    voters.forEach(voter -> out.text(4, voter));
    spans.forEach(
        span ->
            out.within(
                5,
                new FieldWriter()
                    .fixed(1, span.incarnation())
                    .number(2, span.from())
                    .number(3, span.to())));
    books.forEach(
        (name, book) -> out.within(6, new FieldWriter().text(1, name).within(2, book.written())));
    return out.done();
  }

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
        case 1 -> slot = in.number();
        case 2 -> upTo = in.fixed();
        case 3 -> digest = in.fixed();
        case 4 -> voters.add(in.text(255));
        case 5 -> spans.add(span(in.within()));
        case 6 -> book(in.within(), books);
        default -> {}
      }
    }
    if (slot <= 0 || voters.isEmpty()) {
      throw new MalformedMessageException("no sum");
    }
    return new CompactedState(slot, upTo, digest, List.copyOf(voters), spans, books);
  }

  private static Span span(FieldReader in) throws MalformedMessageException {
    long[] of = new long[3];
    while (in.next()) {
      switch (in.field()) {
        case 1 -> of[0] = in.fixed();
        case 2, 3 -> of[in.field() - 1] = in.number();
        default -> {}
      }
    }
    return new Span(of[0], of[1], of[2]);
  }

  private static void book(FieldReader in, Map<String, CueProjection> to)
      throws MalformedMessageException {
    String name = "";
    CueProjection book = new CueProjection();
    while (in.next()) {
      switch (in.field()) {
        case 1 -> name = in.text(255);
        case 2 -> book = CueProjection.read(in.within());
        default -> {}
      }
    }
    to.put(name, book);
  }
}
