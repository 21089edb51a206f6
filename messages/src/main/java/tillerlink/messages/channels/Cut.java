package tillerlink.messages.channels;

import java.util.List;

/**
 * One step of the agreed line: these events, in the order of their stamps, come next in the stable
 * prefix.
 *
 * @param slot the number of the step, from 1
 * @param upTo events stamped later are not in it; it never falls from one step to the next
 * @param spans the events, none of which was in an earlier step
 * @param voters the gateways that agree on the next step
 */
public record Cut(long slot, long upTo, List<Span> spans, List<String> voters) {}
