// Defines the proof by which two daemons show each other that they know the fleet secret.
#pragma once

#include "base/Ids.h"

#include <QByteArray>

#include <optional>

namespace cranberry {

/// Who shows the proof; part of what is proved, so that no proof can be sent back to its maker.
enum class ProofDirection {
    FromDialler = 1,
    FromListener = 2,
};

/// What both proofs of one link are made over.
struct ProofSubject {
    QByteArray diallerNonce;
    QByteArray listenerNonce;
    VmId dialler;
    VmId listener;
};

/// The dialler's answer to the listener's challenge.
struct DiallerProof {
    VmId dialler;
    /// Whom the dialler means to reach.
    VmId listener;
    QByteArray nonce;
    QByteArray proof;
};

constexpr int ProofNonceSize = 32;

/// Fresh random bytes. Thread-safe.
QByteArray proofNonce();

/// HMAC-SHA256 over direction and subject. Thread-safe.
QByteArray peerProof(const QByteArray &secret, ProofDirection direction,
                     const ProofSubject &subject);

/// Compares without telling by its duration where the two differ. Thread-safe.
bool equalProofs(const QByteArray &a, const QByteArray &b);

/// The CBOR form of @p proof. Thread-safe.
QByteArray encodeDiallerProof(const DiallerProof &proof);

/// Empty if @p bytes are not a well-formed proof. Thread-safe.
std::optional<DiallerProof> decodeDiallerProof(const QByteArray &bytes);

} // namespace cranberry
