package tillerlink.net.io;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.channels.ServerSocketChannel;
import java.nio.channels.SocketChannel;
import java.util.ArrayDeque;
import java.util.Queue;
import java.util.concurrent.Semaphore;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Consumer;
import java.util.function.Function;
import org.apache.mina.core.buffer.IoBuffer;
import org.apache.mina.core.future.ConnectFuture;
import org.apache.mina.core.service.IoHandlerAdapter;
import org.apache.mina.core.service.IoProcessor;
import org.apache.mina.core.service.SimpleIoProcessorPool;
import org.apache.mina.core.session.IoSession;
import org.apache.mina.core.session.IoSessionConfig;
import org.apache.mina.transport.socket.nio.NioDatagramConnector;
import org.apache.mina.transport.socket.nio.NioProcessor;
import org.apache.mina.transport.socket.nio.NioSession;
import org.apache.mina.transport.socket.nio.NioSocketAcceptor;
import org.apache.mina.transport.socket.nio.NioSocketConnector;
import tillerlink.net.state.Break;
import tillerlink.net.state.Driver;
import tillerlink.net.state.Pipe;

/**
 * Reads and writes by Apache MINA. Its threads only post what came to the queue of the thread that owns the state.
 */
public final class MinaDriver implements Driver {
    private static final int READ_MOST = 8192;
    private static final int DATAGRAM_MOST = 16_384;
    private static final int BACKLOG = 256;
    private static final String PIPE = "pipe";

    /** Pieces read and not yet taken; the other events are bounded by the connections and by what was written. */
    private static final int READS_MOST = 1024;

    private final Queue<Runnable> queue;
    private final Semaphore reads = new Semaphore(READS_MOST);
    private final Consumer<byte[]> datagrams;
    private InetSocketAddress nameService;
    private final NioSocketAcceptor acceptor;
    private final NioSocketConnector connector;
    private final NioDatagramConnector asker;
    private final ArrayDeque<Runnable> pending = new ArrayDeque<>();
    private IoSession asking;
    private boolean askerDialing;

    public MinaDriver(Queue<Runnable> queue, InetSocketAddress nameService, Consumer<byte[]> datagrams,
                      Function<Pipe, Pipe.Owner> accepted, int clientsMost) {
        this.queue = queue;
        this.nameService = nameService;
        this.datagrams = datagrams;
        SimpleIoProcessorPool<NioSession> processor = new SimpleIoProcessorPool<>(NioProcessor.class, 1);
        acceptor = new Bounded(processor, clientsMost);
        acceptor.setReuseAddress(true);
        acceptor.setBacklog(BACKLOG);
        acceptor.getSessionConfig().setTcpNoDelay(true);
        bound(acceptor.getSessionConfig(), READ_MOST);
        acceptor.setHandler(new Accepting(accepted));
        connector = new NioSocketConnector(processor);
        connector.getSessionConfig().setTcpNoDelay(true);
        bound(connector.getSessionConfig(), READ_MOST);
        connector.setHandler(new Posting());
        asker = new NioDatagramConnector(processor);
        bound(asker.getSessionConfig(), DATAGRAM_MOST);
        asker.setHandler(new Asking());
    }

    private static void bound(IoSessionConfig config, int most) {
        config.setMaxReadBufferSize(most);
        config.setReadBufferSize(most);
        config.setMinReadBufferSize(Math.min(2048, most));
    }

    public void listen(InetSocketAddress address) throws IOException {
        try {
            acceptor.bind(address);
        } catch (IOException e) {
            Throwable cause = e.getCause() == null ? e : e.getCause();
            throw new IOException("cannot listen on " + address + ": " + cause.getMessage(), e);
        }
    }

    @Override
    public Pipe dial(InetSocketAddress to, Pipe.Owner owner) {
        MinaPipe pipe = new MinaPipe();
        pipe.owner = owner;
        pending.add(() -> {
            ConnectFuture future = connector.connect(to, (session, connecting) -> session.setAttribute(PIPE, pipe));
            pipe.future = future;
            future.addListener(done -> {
                if (future.getException() != null) {
                    queue.add(() -> pipe.owner.ended(Break.REFUSED));
                }
            });
        });
        return pipe;
    }

    @Override
    public void ask(byte[] datagram) {
        if (asking != null && asking.isConnected()) {
            asking.write(IoBuffer.wrap(datagram));
        } else if (!askerDialing) {
            askerDialing = true;
            InetSocketAddress to = nameService;
            asker.connect(to).addListener(done -> queue.add(() -> dialed((ConnectFuture) done, to, datagram)));
        }
    }

    private void dialed(ConnectFuture future, InetSocketAddress to, byte[] datagram) {
        askerDialing = false;
        if (future.isConnected() && to.equals(nameService)) {
            asking = future.getSession();
            asking.write(IoBuffer.wrap(datagram));
        } else if (future.isConnected()) {
            future.getSession().closeNow();
        }
    }

    /** From now on the name service is asked at that address; called in a turn. */
    public void askAt(InetSocketAddress address) {
        if (asking != null && !address.equals(nameService)) {
            asking.closeNow();
            asking = null;
        }
        nameService = address;
    }

    @Override
    public void flush() {
        for (Runnable write = pending.poll(); write != null; write = pending.poll()) {
            write.run();
        }
    }

    /** Guards the memory: while too much waits to be taken, MINA's thread waits here, and so nothing more is read. */
    private void postRead(Runnable event) {
        reads.acquireUninterruptibly();
        queue.add(() -> {
            reads.release();
            event.run();
        });
    }

    private static byte[] taken(Object message) {
        IoBuffer buffer = (IoBuffer) message;
        byte[] bytes = new byte[buffer.remaining()];
        buffer.get(bytes);
        return bytes;
    }

    private final class MinaPipe implements Pipe {
        private Owner owner;
        private ConnectFuture future;
        private volatile IoSession session;

        @Override
        public void write(byte[] bytes) {
            pending.add(() -> session.write(IoBuffer.wrap(bytes)));
        }

        @Override
        public void close() {
            pending.add(() -> end(false));
        }

        @Override
        public void drop() {
            pending.add(() -> end(true));
        }

        @Override
        public void hold(boolean held) {
            if (held) {
                session.suspendRead();
            } else {
                session.resumeRead();
            }
        }

        private void end(boolean now) {
            if (session != null) {
                if (now) {
                    session.closeNow();
                } else {
                    session.closeOnFlush();
                }
            } else if (future != null) {
                future.cancel();
                future.addListener(done -> {
                    if (future.isConnected()) {
                        future.getSession().closeNow();
                    }
                });
            }
        }
    }

    /** Posts what happens on a connection. */
    private class Posting extends IoHandlerAdapter {
        private static final String CAUSE = "cause";

        @Override
        public void sessionOpened(IoSession session) {
            MinaPipe pipe = pipe(session);
            pipe.session = session;
            queue.add(() -> pipe.owner.opened());
        }

        @Override
        public void messageReceived(IoSession session, Object message) {
            MinaPipe pipe = pipe(session);
            byte[] bytes = taken(message);
            postRead(() -> pipe.owner.fed(bytes));
        }

        @Override
        public void messageSent(IoSession session, Object message) {
            MinaPipe pipe = pipe(session);
            queue.add(() -> pipe.owner.written());
        }

        @Override
        public void exceptionCaught(IoSession session, Throwable cause) {
            session.setAttribute(CAUSE, cause);
            session.closeNow();
        }

        @Override
        public void sessionClosed(IoSession session) {
            MinaPipe pipe = pipe(session);
            Break how = session.containsAttribute(CAUSE) ? Break.RESET : Break.CLOSED_BY_PEER;
            queue.add(() -> pipe.owner.ended(how));
        }

        MinaPipe pipe(IoSession session) {
            return (MinaPipe) session.getAttribute(PIPE);
        }
    }

    /** Guards the descriptors: a connection beyond the bound is closed where it is accepted. */
    private static final class Bounded extends NioSocketAcceptor {
        private final AtomicInteger clients = new AtomicInteger();
        private final int most;

        Bounded(IoProcessor<NioSession> processor, int most) {
            super(processor);
            this.most = most;
        }

        @Override
        protected NioSession accept(IoProcessor<NioSession> processor, ServerSocketChannel listening)
                throws Exception {
            if (clients.get() < most) {
                NioSession session = super.accept(processor, listening);
                if (session != null) {
                    clients.incrementAndGet();
                    session.getCloseFuture().addListener(closed -> clients.decrementAndGet());
                }
                return session;
            }
            SocketChannel beyond = listening.accept();
            if (beyond != null) {
                beyond.close();
            }
            return null;
        }
    }

    private final class Accepting extends Posting {
        private final Function<Pipe, Pipe.Owner> accepted;

        Accepting(Function<Pipe, Pipe.Owner> accepted) {
            this.accepted = accepted;
        }

        @Override
        public void sessionOpened(IoSession session) {
            MinaPipe pipe = new MinaPipe();
            pipe.session = session;
            session.setAttribute(PIPE, pipe);
            queue.add(() -> pipe.owner = accepted.apply(pipe));
        }
    }

    private final class Asking extends IoHandlerAdapter {
        @Override
        public void messageReceived(IoSession session, Object message) {
            byte[] bytes = taken(message);
            postRead(() -> datagrams.accept(bytes));
        }

        @Override
        public void exceptionCaught(IoSession session, Throwable cause) {
            // A lost question is asked again; a session that can't go on is replaced by the next question.
            session.closeNow();
        }
    }
}
