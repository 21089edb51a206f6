package tillerlink.messages.channels;

/**
 * Events of one incarnation with consecutive sequence numbers.
 *
 * @param incarnation the process that wrote them
 * @param from the first sequence number
 * @param to the last sequence number, included
 */
public record Span(long incarnation, long from, long to) {
  /** Returns the number of events. */
  public long size() {
    return to - from + 1;
  }
}
