package tillerlink.messages.channels;

import java.util.List;

/**
 * The value decided in one consensus slot: the events that come next, in the order of their stamps,
 * in the stable prefix of the logs.
 *
 * @param slot the number of the slot, from 1
 * @param upTo a stamp of the hybrid logical clock; events with a later stamp are not in the cut. It
 *     never decreases from one slot to the next
 * @param spans the events, none of which was in an earlier cut
 * @param voters the gateways that vote on the next slot
 */
public record Cut(long slot, long upTo, List<Span> spans, List<String> voters) {}
