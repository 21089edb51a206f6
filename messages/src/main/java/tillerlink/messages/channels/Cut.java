package tillerlink.messages.channels;

import java.util.List;

/**
 * The value that one consensus slot decides on: these events, in the order of their stamps, come
 * next in the stable prefix of the logs.
 *
 * @param slot the number of the slot, from 1
 * @param upTo a stamp of the hybrid logical clock; events stamped later are not in the cut. It
 *     never falls from one slot to the next
 * @param spans the events, none of which was in an earlier cut
 * @param voters the gateways that decide on the next slot
 */
public record Cut(long slot, long upTo, List<Span> spans, List<String> voters) {}
