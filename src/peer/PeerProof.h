#pragma once

#include "base/Ids.h"

#include <QByteArray>

#include <optional>

namespace cranberry {

/// The side that sends the proof. It is part of the authenticated data, so that a proof cannot be
/// reflected to its sender.
enum class ProofDirection {
    FromDialler = 1,
    FromListener = 2,
};

/// The data of one link that both proofs authenticate.
struct ProofSubject {
    QByteArray diallerNonce;
    QByteArray listenerNonce;
    VmId dialler;
    VmId listener;
};

/// The dialler's answer to the listener's challenge.
struct DiallerProof {
    VmId dialler;
    /// The VM that the dialler intends to reach.
    VmId listener;
    QByteArray nonce;
    QByteArray proof;
};

constexpr int ProofNonceSize = 32;

/// New random bytes from the system's generator. Thread-safe.
QByteArray makeProofNonce();

/// The proof with which a daemon shows that it knows the fleet secret: HMAC-SHA256 over direction
/// and subject. Thread-safe.
QByteArray computePeerProof(const QByteArray &secret, ProofDirection direction,
                            const ProofSubject &subject);

/// Compares in constant time, so that the duration does not reveal where the two differ.
/// Thread-safe.
bool constantTimeEqual(const QByteArray &a, const QByteArray &b);

/// The CBOR encoding of @p proof. Thread-safe.
QByteArray encodeDiallerProof(const DiallerProof &proof);

/// Empty if @p bytes are not a well-formed proof. Thread-safe.
std::optional<DiallerProof> decodeDiallerProof(const QByteArray &bytes);

} // namespace cranberry
