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
 * The result of compacting all channels up to a slot. It is stored instead of the compacted events,
 * and a gateway that is far behind starts from it.
 *
 * @param slot the last compacted slot
 * @param upTo the upper bound of that slot's cut, a stamp of the hybrid logical clock
 * @param digest the digest of all stable events up to that slot
 * @param voters the gateways that decide on the next slot
 * @param spans the identifiers of the compacted events
 * @param projections the projection of each channel's compacted events, by channel name
 */
public record CompactedState(
    long slot,
    long upTo,
    long digest,
    List<String> voters,
    List<Span> spans,
    Map<String, CueProjection> projections) {
  private static final int SLOT = 1;
  private static final int UP_TO = 2;
  private static final int DIGEST = 3;
  private static final int VOTER = 4;
  private static final int SPAN = 5;
  private static final int CHANNEL = 6;

  private static final int SPAN_INCARNATION = 1;
  private static final int SPAN_FROM = 2;
  private static final int SPAN_TO = 3;

  private static final int CHANNEL_NAME = 1;
  private static final int CHANNEL_PROJECTION = 2;

  private static final int MAX_NAME_BYTES = 255;

  /** Encodes the state, for storage and for transfer to other gateways. */
  public byte[] bytes() {
    FieldWriter out = new FieldWriter().number(SLOT, slot).fixed(UP_TO, upTo).fixed(DIGEST, digest);
    voters.forEach(voter -> out.text(VOTER, voter));
    spans.forEach(span -> out.within(SPAN, writeSpan(span)));
    projections.forEach(
        (channel, projection) ->
            out.within(
                CHANNEL,
                new FieldWriter()
                    .text(CHANNEL_NAME, channel)
                    .within(CHANNEL_PROJECTION, projection.encode())));
    return out.done();
  }

  private static FieldWriter writeSpan(Span span) {
    return new FieldWriter()
        .fixed(SPAN_INCARNATION, span.incarnation())
        .number(SPAN_FROM, span.from())
        .number(SPAN_TO, span.to());
  }

  /**
   * Decodes a state.
   *
   * @throws MalformedMessageException if the bytes are malformed, or lack a positive slot or voters
   */
  public static CompactedState read(byte[] bytes) throws MalformedMessageException {
    FieldReader in = new FieldReader(bytes);
    long slot = 0;
    long upTo = 0;
    long digest = 0;
    List<String> voters = new ArrayList<>();
    List<Span> spans = new ArrayList<>();
    Map<String, CueProjection> projections = new TreeMap<>();
    while (in.next()) {
      switch (in.field()) {
        case SLOT -> slot = in.number();
        case UP_TO -> upTo = in.fixed();
        case DIGEST -> digest = in.fixed();
        case VOTER -> voters.add(in.text(MAX_NAME_BYTES));
        case SPAN -> spans.add(readSpan(in.within()));
        case CHANNEL -> readChannel(in.within(), projections);
        default -> {}
      }
    }
    if (slot <= 0 || voters.isEmpty()) {
      throw new MalformedMessageException("compacted state lacks a positive slot or voters");
    }
    return new CompactedState(slot, upTo, digest, List.copyOf(voters), spans, projections);
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

  private static void readChannel(FieldReader in, Map<String, CueProjection> projections)
      throws MalformedMessageException {
    String channel = "";
    CueProjection projection = new CueProjection();
    while (in.next()) {
      switch (in.field()) {
        case CHANNEL_NAME -> channel = in.text(MAX_NAME_BYTES);
        case CHANNEL_PROJECTION -> projection = CueProjection.read(in.within());
        default -> {}
      }
    }
    projections.put(channel, projection);
  }
}
