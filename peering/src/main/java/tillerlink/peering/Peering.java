package tillerlink.peering;

import java.io.IOException;
import java.security.SecureRandom;
import java.util.List;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import tillerlink.cluster.KeyValueStore;
import tillerlink.cluster.MessageSender;
import tillerlink.members.Members;
import tillerlink.messages.envelope.EnvelopeCodec;
import tillerlink.messages.envelope.Seal;
import tillerlink.net.state.GatewayExtension;
import tillerlink.net.wire.GatewayConfig;
import tillerlink.net.wire.HttpRequest;
import tillerlink.net.wire.HttpResponse;
import tillerlink.peering.component.ComponentContext;
import tillerlink.peering.component.ComponentFactory;
import tillerlink.peering.component.HostedComponent;
import tillerlink.peering.members.MembersHttpHandler;
import tillerlink.peering.storage.DisabledKeyValueStore;
import tillerlink.peering.storage.DiskKeyValueStore;
import tillerlink.peering.storage.PrefixedKeyValueStore;

/**
 * Connects a gateway to its fleet. Creates the membership and the other components of shared state
 * with the event loop, the socket and the store, and forwards the gateway's calls to them.
 *
 * <p>All calls run on the thread of the gateway's event loop. This object owns two more threads,
 * which end with {@link #close}: the socket's thread in {@link PeerTransport} and the store's
 * thread in {@link DiskKeyValueStore}. Both only post tasks to the event loop.
 */
public final class Peering implements GatewayExtension {
  private static final Logger LOG = LoggerFactory.getLogger(Peering.class);

  /** The store's directory, relative to the gateway's directory. */
  private static final String STORE_DIRECTORY = "shared";

  private static final long YIELDED_RETRY_MS = 1000;

  private final PeeringConfig config;
  private final String name;
  private final LongSupplier clock;
  private final GatewayExtension.ExtensionContext gateway;
  private final ComponentLoop loop;
  private final PeerTransport transport;
  private final KeyValueStore store;
  private final Members members;
  private final AddressBook addressBook;

  /**
   * Returns a factory of extensions that join the fleet when a gateway starts.
   *
   * @param components creates the components that run in addition to the membership
   */
  public static GatewayExtension.Factory factory(
      PeeringConfig config, List<ComponentFactory> components) {
    return (gatewayConfig, gateway, eventLoop, clock) ->
        new Peering(config, components, gatewayConfig, gateway, eventLoop, clock);
  }

  private Peering(
      PeeringConfig config,
      List<ComponentFactory> components,
      GatewayConfig gatewayConfig,
      GatewayExtension.ExtensionContext gateway,
      Consumer<Runnable> eventLoop,
      LongSupplier clock)
      throws IOException {
    this.config = config;
    this.clock = clock;
    name = gatewayConfig.name();
    Watchdog watchdog = new Watchdog();
    this.gateway = new WatchedExtensionContext(gateway, watchdog);
    loop = new ComponentLoop(eventLoop, clock, watchdog);
    SecureRandom random = new SecureRandom();
    MembershipLogger logger = new MembershipLogger();
    Seal seal = config.secret() == null ? null : Seal.of(config.secret());
    EnvelopeCodec codec = new EnvelopeCodec(config.fleet(), seal);
    long processId = random.nextLong() | 1;
    transport = new PeerTransport(codec, name, processId, loop, logger::warn);
    store = openStore();
    members =
        LocalMembership.create(
            config,
            name,
            store,
            this::sendToAddress,
            new SplittableRandom(random.nextLong()),
            logger,
            loop);
    addressBook = new AddressBook(config.addressOverrides(), members::address);
    loop.add(new MembersHttpHandler(members, transport.refused()));
    for (ComponentFactory component : components) {
      loop.add(component.create(contextFor(component, new SplittableRandom(random.nextLong()))));
    }
    transport.listen(config.listen(), eventLoop);
    LOG.info(
        "gateway {} of fleet {} at site {} accepts datagrams from other gateways on {}",
        name,
        config.fleet(),
        config.site(),
        config.listen());
  }

  private KeyValueStore openStore() throws IOException {
    return config.directory() == null
        ? new DisabledKeyValueStore()
        : DiskKeyValueStore.open(
            config.directory().resolve(name).resolve(STORE_DIRECTORY),
            name,
            config.maxStoredBytes(),
            loop::post);
  }

  private ComponentContext contextFor(ComponentFactory component, SplittableRandom random) {
    return new ComponentContext(
        name,
        config.site(),
        members,
        senderFor(component.number()),
        new PrefixedKeyValueStore(store, component.name()),
        random,
        gateway,
        clock);
  }

  // ---- messages ----

  private MessageSender senderFor(int component) {
    return (to, body) -> {
      String address = members.yielded() ? "" : addressBook.addressOf(to);
      if (!address.isEmpty()) {
        transport.send(address, component, body);
      }
    };
  }

  private void sendToAddress(String address, byte[] body) {
    transport.send(addressBook.resolve(address), MembersHttpHandler.NUMBER, body);
  }

  // ---- event loop ----

  @Override
  public void beginIteration(long clockNow) {
    loop.beginIteration();
  }

  @Override
  public void endIteration(long clockNow) {
    loop.endIteration();
  }

  @Override
  public long nextDueAt() {
    return loop.nextDueAt();
  }

  // ---- clients ----

  @Override
  public boolean handlesPath(String path) {
    return loop.findByPath(path).isPresent();
  }

  @Override
  public void onRequest(HttpRequest request, Reply reply) {
    Optional<HostedComponent> component = loop.findByPath(request.path());
    loop.run(() -> dispatch(component.orElseThrow(), request, reply));
  }

  private void dispatch(HostedComponent component, HttpRequest request, Reply reply) {
    if (members.yielded() && component.number() != MembersHttpHandler.NUMBER) {
      reply.answer(HttpResponse.problem(503, "Yielded", YIELDED_RETRY_MS));
    } else {
      component.onRequest(loop.now(), ComponentLoop.wallTime(), request, reply);
    }
  }

  // ---- shutdown ----

  @Override
  public void onDrain() {
    loop.run(
        () -> loop.forEach(component -> component.onDrain(loop.now(), ComponentLoop.wallTime())));
  }

  @Override
  public void onShutdownDeadline() {
    loop.run(
        () ->
            loop.forEach(
                component -> component.onShutdownDeadline(loop.now(), ComponentLoop.wallTime())));
  }

  /**
   * Closes the components, the socket and the store. The components' last messages are sent before
   * this method returns, because messages are sent without queueing.
   */
  @Override
  public void close() {
    loop.run(
        () -> loop.forEach(component -> component.close(loop.now(), ComponentLoop.wallTime())));
    transport.close();
    if (store instanceof DiskKeyValueStore disk) {
      try {
        disk.close();
      } catch (IOException e) {
        LOG.warn("could not close the store of shared state: {}", e.toString());
      }
    }
  }
}
