package org.papayawalk.daemon.standalone.agent;

import java.util.concurrent.atomic.AtomicReference;
import org.papayawalk.core.id.Digest;
import org.papayawalk.core.port.Engine;
import org.papayawalk.core.weight.Manifest;
import org.papayawalk.log.Event;

/** Writes verified chunks to the engine's staging area. Thread-safe. */
public final class EngineStagingArea implements StagingArea {
    /** Engine. */
    private final Engine engine;

    /** Version whose staging the engine has begun. */
    private final AtomicReference<Digest> begun = new AtomicReference<>(Digest.NONE);

    /**
     * Creates a stager.
     *
     * @param engine engine
     */
    public EngineStagingArea(Engine engine) {
        this.engine = engine;
    }

    @Override
    public void reset() {
        begun.set(Digest.NONE);
    }

    @Override
    public boolean write(Digest digest, Manifest manifest, int index, byte[] data) {
        if (!begin(digest, manifest)) {
            return false;
        }
        return engine.stageChunk(digest, manifest.offset(index), data)
                .peekLeft(f -> Event.named("stage-failed").with("fault", f).warn())
                .isRight();
    }

    /**
     * Begins staging unless that was done.
     *
     * @param digest digest of the manifest
     * @param manifest manifest
     * @return true if the engine has begun
     */
    private synchronized boolean begin(Digest digest, Manifest manifest) {
        if (digest.equals(begun.get())) {
            return true;
        }
        boolean done =
                engine.beginStaging(digest, manifest)
                        .peekLeft(f -> Event.named("stage-failed").with("fault", f).warn())
                        .isRight();
        if (done) {
            begun.set(digest);
        }
        return done;
    }
}
