package tillerlink.messages.channels;

/**
 * A range of events of one incarnation with consecutive sequence numbers.
 *
 * @param incarnation the process that wrote the events
 * @param from the first sequence number
 * @param to the last sequence number, inclusive
 */
public record Span(long incarnation, long from, long to) {
  /** Returns the number of events in the range. */
  public long size() {
    return to - from + 1;
  }
}
