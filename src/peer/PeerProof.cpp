#include "peer/PeerProof.h"

#include <QCborArray>
#include <QCborParserError>
#include <QCborValue>
#include <QMessageAuthenticationCode>
#include <QRandomGenerator>

namespace cranberry {

namespace {

constexpr int ProofSize = 32;
constexpr int DiallerProofFields = 4;

} // namespace

QByteArray makeProofNonce()
{
    QByteArray nonce(ProofNonceSize, Qt::Uninitialized);
    QRandomGenerator::system()->generate(nonce.begin(), nonce.end());
    return nonce;
}

QByteArray computePeerProof(const QByteArray &secret, ProofDirection direction,
                            const ProofSubject &subject)
{
    // CBOR encodes the length of each part, so different subjects never have the same encoding.
    QCborArray authenticatedData;
    authenticatedData.append(int(direction));
    authenticatedData.append(subject.diallerNonce);
    authenticatedData.append(subject.listenerNonce);
    authenticatedData.append(subject.dialler.text());
    authenticatedData.append(subject.listener.text());
    return QMessageAuthenticationCode::hash(QCborValue(authenticatedData).toCbor(), secret,
                                            QCryptographicHash::Sha256);
}

bool constantTimeEqual(const QByteArray &a, const QByteArray &b)
{
    if (a.size() != b.size())
        return false;
    unsigned difference = 0;
    for (qsizetype i = 0; i < a.size(); ++i)
        difference |= unsigned(uchar(a[i]) ^ uchar(b[i]));
    return difference == 0;
}

QByteArray encodeDiallerProof(const DiallerProof &proof)
{
    QCborArray array;
    array.append(proof.dialler.text());
    array.append(proof.listener.text());
    array.append(proof.nonce);
    array.append(proof.proof);
    return QCborValue(array).toCbor();
}

std::optional<DiallerProof> decodeDiallerProof(const QByteArray &bytes)
{
    QCborParserError error;
    const QCborArray array = QCborValue::fromCbor(bytes, &error).toArray();
    if (error.error.c != QCborError::NoError || array.size() != DiallerProofFields)
        return std::nullopt;
    DiallerProof proof;
    proof.dialler = VmId(array.at(0).toString());
    proof.listener = VmId(array.at(1).toString());
    proof.nonce = array.at(2).toByteArray();
    proof.proof = array.at(3).toByteArray();
    if (proof.dialler.isEmpty() || proof.nonce.size() != ProofNonceSize
        || proof.proof.size() != ProofSize)
        return std::nullopt;
    return proof;
}

} // namespace cranberry
