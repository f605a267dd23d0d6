package org.papayawalk.daemon.standalone.agent;

import java.util.concurrent.atomic.AtomicReference;
import org.papayawalk.core.id.Digest;
import org.papayawalk.core.port.Engine;
import org.papayawalk.core.weight.Manifest;
import org.papayawalk.daemon.swarm.StagingArea;
import org.papayawalk.log.Event;

/** Staging area of a model engine, reached through the engine's API. Thread-safe. */
public final class EngineStagingArea implements StagingArea {
    private final Engine engine;

    /** Version for which the engine has confirmed the start of staging. */
    private final AtomicReference<Digest> startedVersion = new AtomicReference<>(Digest.NONE);

    /**
     * Creates a staging area without a started version.
     *
     * @param engine engine that loads the weights
     */
    public EngineStagingArea(Engine engine) {
        this.engine = engine;
    }

    @Override
    public void reset() {
        startedVersion.set(Digest.NONE);
    }

    @Override
    public boolean write(Digest digest, Manifest manifest, int index, byte[] data) {
        if (!ensureStarted(digest, manifest)) {
            return false;
        }
        return engine.stageChunk(digest, manifest.offset(index), data)
                .peekLeft(f -> Event.named("stage-failed").with("fault", f).warn())
                .isRight();
    }

    // Starts staging of the version unless the engine has already started it.
    private synchronized boolean ensureStarted(Digest digest, Manifest manifest) {
        if (digest.equals(startedVersion.get())) {
            return true;
        }
        boolean accepted =
                engine.beginStaging(digest, manifest)
                        .peekLeft(f -> Event.named("stage-failed").with("fault", f).warn())
                        .isRight();
        if (accepted) {
            startedVersion.set(digest);
        }
        return accepted;
    }
}
